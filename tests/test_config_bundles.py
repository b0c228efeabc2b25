"""Bundles are validated completely: an invalid bundle is rejected with the name of the invalid field.

The tests guard against invalid bundles that are accepted and reach proxies, and against errors without field or remedy.
"""

from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.testbed.deployments import DEPLOYMENTS

VALID_BUNDLE = DEPLOYMENTS["brindlefield"].first_bundle()
# The text replaced in a valid bundle, its invalid replacement, and the field that the error must name.
INVALID_CHANGES = (
    ("number = 1", "number = 0", "number"),
    ("number = 1", 'number = "one"', "number"),
    ("based_on = 0", "based_on = 1", "based_on"),
    ('name = "meter"', 'name = "ledger"', "services[1].name"),
    ("further_percent = 20", "further_percent = 90", "services[0].further_percent"),
    ('service = "portal"', 'service = "portals"', "entries[0].service"),
    ('path = "/payments"', 'path = "/payments/"', "entries[1].path"),
    ('path = "/payments"', 'path = "/a/../b"', "entries[1].path"),
    ('path = "/payments"', 'path = "/credits"', "entries[2].path"),
    ('path = "/statements"', 'path = "/hoistsaddle/ready"', "entries[0].path"),
    ('callers = ["visitors"]\nbudget_seconds = 5', 'callers = ["everyone"]\nbudget_seconds = 5', "entries[0].callers"),
    ("budget_seconds = 5", "budget_seconds = 0", "entries[0].budget_seconds"),
    ('methods = ["GET"]\ncallers = ["visitors"]', 'methods = ["FETCH"]\ncallers = ["visitors"]', "entries[0].methods"),
    (
        'methods = ["POST"]\ncallers = ["visitors"]\nonce = true',
        'methods = ["GET"]\ncallers = ["visitors"]\nonce = true',
        "entries[1].once",
    ),
    ("answer_bytes = 16384", "answer_bytes = 999999", "entries[1].answer_bytes"),
    ("everyone = true", "everyone = false", "stages[1].everyone"),
    ('note = "Opening day"', 'notes = "Opening day"', "notes"),
    ("[[services]]", "[[services", ""),
)


class Bundles(TestCase):
    def test_the_example_bundles_are_valid(self) -> None:
        for deployment in (each for each in DEPLOYMENTS.values() if each.services):
            self.assertThat(read_bundle(deployment.first_bundle()), IsInstance(Success))

    def test_each_invalid_change_is_rejected_with_its_field(self) -> None:
        for old, new, field in INVALID_CHANGES:
            self.assertThat(VALID_BUNDLE.count(old) > 0, Equals(True), old)
            result = read_bundle(VALID_BUNDLE.replace(old, new, 1))
            self.assertThat(result, IsInstance(Failure), new)
            error = result.failure()
            self.assertThat(
                (error.kind, error.field, bool(error.remedy)), Equals((ErrorKind.BUNDLE_BROKEN, field, True)), new
            )

    def test_the_longest_path_matches_and_only_whole_segments_match(self) -> None:
        text = (
            VALID_BUNDLE
            + '\n[[entries]]\nname = "old"\nservice = "meter"\npath = "/statements/old"\n'
            + 'methods = ["GET"]\ncallers = ["visitors"]\n'
        )
        bundle = read_bundle(text).unwrap()
        names = [
            getattr(bundle.match_route(method="GET", path=path), "name", None)
            for path in ("/statements", "/statements/old/1", "/statements/older", "/statementsold")
        ]
        self.assertThat(names, Equals(["statements", "old", "statements", None]))
