"""Copies and hashable keys of cores: to explore several paths from one state, and to recognise equal states."""

import random
from collections import deque
from datetime import timedelta
from typing import Any

# Parts of a core are objects of classes in these modules; all other values are plain containers or immutable.
PART_MODULES = "hoistsaddle.raft."
_IMMUTABLE = frozenset((int, float, bool, str, bytes, type(None), timedelta))


_is_part_by_type: dict[type, bool] = {}


def _is_part(kind: type) -> bool:
    if kind not in _is_part_by_type:
        # Records and messages of these modules are tuples, which are immutable.
        in_modules = any(each.__module__.startswith(PART_MODULES) for each in kind.__mro__)
        _is_part_by_type[kind] = in_modules and not issubclass(kind, tuple)
    return _is_part_by_type[kind]


def clone(value: Any, visited: dict[int, Any] | None = None) -> Any:
    """A copy of a core and all its parts; immutable values are shared."""
    kind = type(value)
    if kind in _IMMUTABLE:
        return value
    visited = {} if visited is None else visited
    if kind is list:
        return [clone(each, visited) for each in value]
    if kind is dict:
        return {key: clone(each, visited) for key, each in value.items()}
    if kind is tuple:
        return tuple([clone(each, visited) for each in value])
    if kind is set or kind is deque:
        return value.copy()
    if not _is_part(kind):
        return value
    if id(value) not in visited:
        copied = visited[id(value)] = object.__new__(kind)
        attributes = copied.__dict__
        for name, each in value.__dict__.items():
            attributes[name] = each if type(each) in _IMMUTABLE else clone(each, visited)
    return visited[id(value)]


def key_of(value: Any, visited: set[int] | None = None) -> Any:
    """A hashable key that is equal for equivalent values; random generators are ignored."""
    kind = type(value)
    if kind in _IMMUTABLE:
        return value
    visited = set() if visited is None else visited
    if kind is dict:
        return frozenset([(key, key_of(each, visited)) for key, each in value.items()])
    if kind is set:
        return frozenset(value)
    if kind is list or kind is deque or kind is tuple:
        return tuple([key_of(each, visited) for each in value])
    if isinstance(value, random.Random):
        return None
    if isinstance(value, tuple):
        try:
            hash(value)
        except TypeError:
            return (kind.__name__, *[key_of(each, visited) for each in value])
        return value
    if not _is_part(kind):
        return value
    if id(value) in visited:
        return "known"
    visited.add(id(value))
    return tuple([(name, key_of(each, visited)) for name, each in value.__dict__.items()])
