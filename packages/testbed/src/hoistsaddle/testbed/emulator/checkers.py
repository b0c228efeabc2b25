"""The rules of the users' platform over what a day recorded; each gives what broke it."""

from collections.abc import Callable

from hoistsaddle.testbed.emulator import order_rules, request_rules
from hoistsaddle.testbed.emulator.account import Account
from hoistsaddle.testbed.emulator.day import Day
from hoistsaddle.testbed.emulator.history import History

RULES: dict[str, Callable[[Account], list[str]]] = {
    "MIXED": request_rules.mixed,
    "UNASKED": request_rules.unasked,
    "TWICE": request_rules.twice,
    "REFUSED": request_rules.refused,
    "DENIED": request_rules.denied,
    "ROUTE": request_rules.routed,
    "DRAIN": request_rules.drained,
    "LOST": request_rules.lost,
    "CONFIG": order_rules.configured,
    "CONFIG back": order_rules.gone_back,
    "CONFIG orders": order_rules.orders,
    "CONFIG read-back": order_rules.read_back,
    "CONFIG taken": order_rules.taken,
    "CONFIG one content": order_rules.one_content,
    "CONFIG majority": order_rules.majority,
    "BUDGET": request_rules.budget,
    "RECOVER": request_rules.recovered,
    "FAULT": request_rules.stands,
    "GATE": request_rules.serves,
}


def check(history: History, day: Day) -> dict[str, list[str]]:
    """Every rule with what broke it."""
    account = Account(history=history, day=day)
    return {rule: checker(account) for rule, checker in RULES.items()}
