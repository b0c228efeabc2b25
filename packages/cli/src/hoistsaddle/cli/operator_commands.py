"""Operators' commands, which call the operators' interface of a registry."""

import hashlib
import sys
from pathlib import Path

import click
import msgspec
from returns.result import Failure, Success

from hoistsaddle.cli.caller import OK, call, call_or_exit
from hoistsaddle.cli.export import export
from hoistsaddle.cli.holds import holds
from hoistsaddle.cli.output import EXIT_FAILURE, exit_with_error, print_json
from hoistsaddle.cli.plan import plan
from hoistsaddle.cli.watch import watch
from hoistsaddle.config.bundle import digest_of
from hoistsaddle.config.bundle_checks import read_bundle

_endpoint = click.option(
    "--door",
    "endpoints",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A registry's address for operators; repeat, or set HOISTSADDLE_DOORS (separated by spaces).",
)
_token = click.option(
    "--token", envvar="HOISTSADDLE_TOKEN", required=True, help="Your token, or set HOISTSADDLE_TOKEN."
)


def _encode(**fields) -> bytes:
    return msgspec.json.encode(fields)


@click.command()
@_endpoint
@click.option(
    "--operator",
    "operators",
    multiple=True,
    required=True,
    help="NAME=TOKEN; give at least two. Only the token's digest is kept.",
)
def found(endpoints, operators) -> None:
    """Founds a mesh on blank core machines. Done only once for a mesh."""
    digests = {}
    for operator in operators:
        name, _, token = operator.partition("=")
        digests[name] = hashlib.sha256(token.encode()).hexdigest()
    print_json(call_or_exit(endpoints=endpoints, method="POST", path="/found", body=_encode(operators=digests)))


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def check(file) -> None:
    """Checks a bundle file without sending it."""
    try:
        text = Path(file).read_text(encoding="utf-8")
    except UnicodeDecodeError:
        click.echo("refused: bundle-broken: the file is not UTF-8 text. Remedy: save it as UTF-8.", err=True)
        sys.exit(EXIT_FAILURE)
    match read_bundle(text):
        case Failure(error):
            exit_with_error(error)
        case Success(bundle):
            print_json(
                {
                    "number": bundle.number,
                    "based_on": bundle.based_on,
                    "digest": digest_of(text),
                    "stages": [stage.name for stage in bundle.rollout()],
                }
            )


@click.command()
@_endpoint
@_token
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
def submit(endpoints, token, file) -> None:
    """Submits a bundle; a second person signs it."""
    print_json(
        call_or_exit(endpoints=endpoints, method="POST", path="/bundles", token=token, body=Path(file).read_bytes())
    )


@click.command()
@_endpoint
@_token
@click.argument("number", type=int)
@click.option("--digest", help="The digest of the bundle you reviewed; by default the digest that the mesh reports.")
def sign(endpoints, token, number, digest) -> None:
    """Signs a bundle off and starts its rollout with the first stage."""
    digest = digest or call_or_exit(endpoints=endpoints, method="GET", path=f"/bundles/{number}")["digest"]
    print_json(
        call_or_exit(
            endpoints=endpoints, method="POST", path=f"/bundles/{number}/sign", token=token, body=_encode(digest=digest)
        )
    )


@click.command()
@_endpoint
@_token
@click.argument("number", type=int)
@click.option("--from-stage", type=int, required=True, help="The current stage.")
def advance(endpoints, token, number, from_stage) -> None:
    """Advances a bundle's rollout to the next stage."""
    print_json(
        call_or_exit(
            endpoints=endpoints,
            method="POST",
            path=f"/bundles/{number}/advance",
            token=token,
            body=_encode(from_stage=from_stage),
        )
    )


@click.command()
@_endpoint
@_token
@click.argument("number", type=int)
def abort(endpoints, token, number) -> None:
    """Aborts a draft bundle or one whose rollout is in progress."""
    print_json(call_or_exit(endpoints=endpoints, method="POST", path=f"/bundles/{number}/abort", token=token))


@click.command()
@_endpoint
@click.argument("number", type=int)
def status(endpoints, number) -> None:
    """Shows a bundle and its state on each machine."""
    print_json(call_or_exit(endpoints=endpoints, method="GET", path=f"/bundles/{number}"))


@click.command()
@_endpoint
@_token
@click.argument("proxy", metavar="STALL")
@click.option("--undo", is_flag=True, help="Undo an earlier drain.")
def drain(endpoints, token, proxy, undo) -> None:
    """Drains the server beside a proxy: it gets no new requests."""
    print_json(
        call_or_exit(
            endpoints=endpoints,
            method="POST",
            path=f"/servers/{proxy}/drain",
            token=token,
            body=_encode(drain=not undo),
        )
    )


@click.command()
@_endpoint
def setup(endpoints) -> None:
    """Shows the complete configuration, confirmed by the leader."""
    print_json(call_or_exit(endpoints=endpoints, method="GET", path="/setup"))


@click.command()
@_endpoint
def core(endpoints) -> None:
    """Shows the core machines and which of them is the leader."""
    print_json(call_or_exit(endpoints=endpoints, method="GET", path="/core"))


@click.command()
@_endpoint
def counters(endpoints) -> None:
    """Shows a registry's counters and those of the stores."""
    print_json(call_or_exit(endpoints=endpoints, method="GET", path="/counters"))


@click.command()
@_endpoint
def ready(endpoints) -> None:
    """Shows whether each core machine is ready; exits with status 1 if one isn't."""
    any_unready = False
    for endpoint in endpoints:
        answer = call(endpoints=(endpoint,), method="GET", path="/ready")
        any_unready = any_unready or answer.status != OK
        print_json({"door": endpoint, **answer.body})
    if any_unready:
        sys.exit(EXIT_FAILURE)


@click.group()
def operator() -> None:
    """Changes the operators: one operator proposes a change, a second one signs it."""


def _propose(endpoints, token, name, new_token) -> None:
    digest = hashlib.sha256(new_token.encode()).hexdigest()
    print_json(
        call_or_exit(
            endpoints=endpoints, method="POST", path=f"/operators/{name}", token=token, body=_encode(digest=digest)
        )
    )


_new_token = click.option("--new-token", envvar="HOISTSADDLE_NEW_TOKEN", required=True, help="Only its digest is sent.")


@operator.command("add")
@_endpoint
@_token
@_new_token
@click.argument("name")
def operator_add(endpoints, token, name, new_token) -> None:
    """Proposes a new operator."""
    _propose(endpoints, token, name, new_token)


@operator.command("renew")
@_endpoint
@_token
@_new_token
@click.argument("name")
def operator_renew(endpoints, token, name, new_token) -> None:
    """Proposes a new token for an operator."""
    _propose(endpoints, token, name, new_token)


@operator.command("remove")
@_endpoint
@_token
@click.argument("name")
def operator_remove(endpoints, token, name) -> None:
    """Proposes the removal of an operator."""
    print_json(call_or_exit(endpoints=endpoints, method="POST", path=f"/operators/{name}/remove", token=token))


@operator.command("sign")
@_endpoint
@_token
@click.argument("name")
@click.option("--change", help="The change you reviewed; by default the one that the mesh reports.")
def operator_sign(endpoints, token, name, change) -> None:
    """Signs a change proposed by another operator; it is in force at once."""
    if change is None:
        proposed = call_or_exit(endpoints=endpoints, method="GET", path="/operators")["changes"]
        change = next((each["change"] for each in proposed if each["name"] == name), "")
    print_json(
        call_or_exit(
            endpoints=endpoints, method="POST", path=f"/operators/{name}/sign", token=token, body=_encode(change=change)
        )
    )


@operator.command("drop")
@_endpoint
@_token
@click.argument("name")
def operator_drop(endpoints, token, name) -> None:
    """Withdraws a proposed change."""
    print_json(call_or_exit(endpoints=endpoints, method="POST", path=f"/operators/{name}/drop", token=token))


@operator.command("list")
@_endpoint
def operator_list(endpoints) -> None:
    """Shows the operators and the changes that await a second operator's signature."""
    print_json(call_or_exit(endpoints=endpoints, method="GET", path="/operators"))


OPERATOR_COMMANDS = (
    found,
    check,
    submit,
    sign,
    advance,
    abort,
    status,
    drain,
    setup,
    core,
    counters,
    ready,
    operator,
    holds,
    plan,
    export,
    watch,
)
