"""Errors as values: what their classes define, when they are equal, and that copies equal the original."""

import copy
import importlib
import pickle
import pkgutil

from returns.result import Failure
from testtools import TestCase
from testtools.matchers import Equals, IsInstance, Raises

import hoistsaddle
from hoistsaddle.common.errors import BodyTooLarge, ErrorKind, MeshError, TypedError


class TypedErrors(TestCase):
    def test_a_class_defines_the_kind_and_the_default_remedy(self) -> None:
        error = BodyTooLarge("The body is over 10 bytes.", field="body")
        self.assertThat(error, IsInstance(MeshError))
        self.assertThat(
            error.describe(),
            Equals(
                {
                    "kind": "body-too-large",
                    "message": "The body is over 10 bytes.",
                    "remedy": "Send a smaller body.",
                    "field": "body",
                }
            ),
        )
        self.assertThat(
            str(error), Equals("body-too-large (field body): The body is over 10 bytes. Remedy: Send a smaller body.")
        )

    def test_an_instance_can_have_another_remedy(self) -> None:
        self.assertThat(BodyTooLarge("Too large.", remedy="Split it.").remedy, Equals("Split it."))

    def test_an_error_equals_its_decoded_form(self) -> None:
        error = BodyTooLarge("Too large.")
        decoded = MeshError("body-too-large", "Too large.", "Send a smaller body.")
        self.assertThat((error, hash(error), Failure(error)), Equals((decoded, hash(decoded), Failure(decoded))))
        self.assertThat(error == BodyTooLarge("Much too large."), Equals(False))

    def test_an_error_can_be_matched_by_kind_whatever_its_class(self) -> None:
        for error in (BodyTooLarge("Too large."), MeshError(ErrorKind.BODY_TOO_LARGE, "Too large.", "Less.")):
            match error:
                case MeshError(kind=ErrorKind.BODY_TOO_LARGE, message=message):
                    self.assertThat(message, Equals("Too large."))
                case _:
                    self.fail("not matched")

    def test_an_error_is_immutable(self) -> None:
        error = BodyTooLarge("Too large.")

        def change() -> None:
            error.kind = "other"  # type: ignore[misc]

        self.assertThat(change, Raises())
        replaced = error._replace(field="body")
        self.assertThat((type(replaced), replaced.field, error.field), Equals((BodyTooLarge, "body", "")))

    def test_copies_equal_the_original(self) -> None:
        error = BodyTooLarge("Too large.", field="body", remedy="Less.")
        for copied in (copy.copy(error), copy.deepcopy(error), pickle.loads(pickle.dumps(error))):
            self.assertThat((type(copied), copied), Equals((BodyTooLarge, error)))

    def test_each_class_has_a_unique_kind(self) -> None:
        for module in pkgutil.walk_packages(hoistsaddle.__path__, "hoistsaddle."):
            if module.name.endswith(".errors"):
                importlib.import_module(module.name)
        kinds = [each.KIND for each in TypedError.__subclasses__()]
        self.assertThat(sorted(kinds), Equals(sorted(set(kinds))))
        self.assertThat([each.__name__ for each in TypedError.__subclasses__() if not each.REMEDY], Equals([]))
