"""The rules of the users' platform, checked against the history of a day.

The rule names are those of the platform's own checks; tests and reports refer to them.
"""

from collections.abc import Callable

from hoistsaddle.testbed.emulator import configuration_rules, request_rules
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.history import History
from hoistsaddle.testbed.emulator.history_index import HistoryIndex

RULES: dict[str, Callable[[HistoryIndex], list[str]]] = {
    "MIXED": request_rules.answers_belong_to_requests,
    "MIXED at work": request_rules.conflicts_name_keys_in_use,
    "UNASKED": request_rules.runs_match_requests,
    "TWICE": request_rules.runs_at_most_once,
    "REFUSED": request_rules.not_run_means_not_run,
    "DENIED": request_rules.configured_routes_are_accepted,
    "ROUTE": request_rules.runs_at_allowed_services,
    "DRAIN": request_rules.draining_servers_get_nothing,
    "LOST": request_rules.planned_stops_lose_nothing,
    "CONFIG": configuration_rules.acknowledged_changes_apply,
    "CONFIG back": configuration_rules.versions_never_go_back,
    "CONFIG orders": configuration_rules.changes_are_answered_correctly,
    "CONFIG read-back": configuration_rules.reads_match_confirmed_changes,
    "CONFIG taken": configuration_rules.confirmed_changes_stay_confirmed,
    "CONFIG one content": configuration_rules.one_content_per_revision,
    "CONFIG majority": configuration_rules.majority_is_kept,
    "BUDGET": request_rules.retries_stay_in_budget,
    "RECOVER": request_rules.serves_again_after_final_fault,
    "FAULT": request_rules.programs_keep_running,
    "GATE": request_rules.day_has_traffic,
}


def check(history: History, day: Day) -> dict[str, list[str]]:
    """Checks all rules; returns the violations by rule name."""
    index = HistoryIndex(history=history, day=day)
    return {rule: checker(index) for rule, checker in RULES.items()}
