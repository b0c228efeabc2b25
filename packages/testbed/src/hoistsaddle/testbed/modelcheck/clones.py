"""Copies and hashable keys of cores, whatever their parts: to go several ways from one state, and to recognise it."""

import random
from collections import deque
from datetime import timedelta
from typing import Any

# Parts of a core are objects of these modules; everything else in it is a plain container or never changes.
PART_MODULES = "hoistsaddle.raft."
_PLAIN = frozenset((int, float, bool, str, bytes, type(None), timedelta))


_is_part_by_kind: dict[type, bool] = {}


def _is_part(kind: type) -> bool:
    if kind not in _is_part_by_kind:
        # Records and messages of these modules are tuples, which never change.
        named = any(each.__module__.startswith(PART_MODULES) for each in kind.__mro__)
        _is_part_by_kind[kind] = named and not issubclass(kind, tuple)
    return _is_part_by_kind[kind]


def clone(value: Any, known: dict[int, Any] | None = None) -> Any:
    """A copy of a core and of every part in it; values that never change are shared."""
    kind = type(value)
    if kind in _PLAIN:
        return value
    known = {} if known is None else known
    if kind is list:
        return [clone(each, known) for each in value]
    if kind is dict:
        return {key: clone(each, known) for key, each in value.items()}
    if kind is tuple:
        return tuple([clone(each, known) for each in value])
    if kind is set or kind is deque:
        return value.copy()
    if not _is_part(kind):
        return value
    if id(value) not in known:
        copied = known[id(value)] = object.__new__(kind)
        attributes = copied.__dict__
        for name, each in value.__dict__.items():
            attributes[name] = each if type(each) in _PLAIN else clone(each, known)
    return known[id(value)]


def key_of(value: Any, known: set[int] | None = None) -> Any:
    """Something hashable that is equal for values that are alike."""
    kind = type(value)
    if kind in _PLAIN:
        return value
    known = set() if known is None else known
    if kind is dict:
        return frozenset([(key, key_of(each, known)) for key, each in value.items()])
    if kind is set:
        return frozenset(value)
    if kind is list or kind is deque or kind is tuple:
        return tuple([key_of(each, known) for each in value])
    if isinstance(value, random.Random):
        return None
    if isinstance(value, tuple):
        try:
            hash(value)
        except TypeError:
            return (kind.__name__, *[key_of(each, known) for each in value])
        return value
    if not _is_part(kind):
        return value
    if id(value) in known:
        return "known"
    known.add(id(value))
    return tuple([(name, key_of(each, known)) for name, each in value.__dict__.items()])
