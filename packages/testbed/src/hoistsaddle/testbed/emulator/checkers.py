"""The rules of the users' platform over what a day recorded; each gives what broke it."""

from collections.abc import Callable

from hoistsaddle.testbed.emulator import configuration_rules, request_rules
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.history import History
from hoistsaddle.testbed.emulator.history_index import HistoryIndex

RULES: dict[str, Callable[[HistoryIndex], list[str]]] = {
    "MIXED": request_rules.mixed,
    "UNASKED": request_rules.unasked,
    "TWICE": request_rules.twice,
    "REFUSED": request_rules.refused,
    "DENIED": request_rules.denied,
    "ROUTE": request_rules.routed,
    "DRAIN": request_rules.drained,
    "LOST": request_rules.lost,
    "CONFIG": configuration_rules.configured,
    "CONFIG back": configuration_rules.gone_back,
    "CONFIG orders": configuration_rules.orders,
    "CONFIG read-back": configuration_rules.read_back,
    "CONFIG taken": configuration_rules.taken,
    "CONFIG one content": configuration_rules.one_content,
    "CONFIG majority": configuration_rules.majority,
    "BUDGET": request_rules.budget,
    "RECOVER": request_rules.recovered,
    "FAULT": request_rules.stands,
    "GATE": request_rules.serves,
}


def check(history: History, day: Day) -> dict[str, list[str]]:
    """Every rule with what broke it."""
    index = HistoryIndex(history=history, day=day)
    return {rule: checker(index) for rule, checker in RULES.items()}
