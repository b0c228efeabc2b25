"""Operators' commands: each is one call at the operators' interface."""

import hashlib
import sys
from pathlib import Path

import click
import msgspec
from returns.result import Failure, Success

from hoistsaddle.cli.caller import OK, call, call_or_exit
from hoistsaddle.cli.export import export
from hoistsaddle.cli.holds import holds
from hoistsaddle.cli.output import REFUSED, print_json, refuse
from hoistsaddle.cli.plan import plan
from hoistsaddle.cli.watch import watch
from hoistsaddle.config.bundle import digest_of
from hoistsaddle.config.bundle_checks import read_bundle

_endpoint = click.option(
    "--door",
    "endpoints",
    multiple=True,
    envvar="HOISTSADDLE_DOORS",
    help="A registry's operators' address; repeat, or set HOISTSADDLE_DOORS (spaces between).",
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
    """Founds a mesh on blank core machines. Done once, ever."""
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
        sys.exit(REFUSED)
    match read_bundle(text):
        case Failure(error):
            refuse(error)
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
@click.option("--digest", help="The digest you read; without it the digest the mesh shows is signed.")
def sign(endpoints, token, number, digest) -> None:
    """Signs a bundle off and puts its first stage in force."""
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
@click.option("--from-stage", type=int, required=True, help="The stage it is in now.")
def advance(endpoints, token, number, from_stage) -> None:
    """Moves a rolling bundle one stage on."""
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
    """Takes a draft or rolling bundle back."""
    print_json(call_or_exit(endpoints=endpoints, method="POST", path=f"/bundles/{number}/abort", token=token))


@click.command()
@_endpoint
@click.argument("number", type=int)
def status(endpoints, number) -> None:
    """Shows a bundle and what each machine makes of it."""
    print_json(call_or_exit(endpoints=endpoints, method="GET", path=f"/bundles/{number}"))


@click.command()
@_endpoint
@_token
@click.argument("proxy", metavar="STALL")
@click.option("--undo", is_flag=True, help="Take the mark away again.")
def drain(endpoints, token, proxy, undo) -> None:
    """Marks the server beside a proxy as leaving; it gets no new work."""
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
    """Reads the whole configuration back, confirmed by the leader."""
    print_json(call_or_exit(endpoints=endpoints, method="GET", path="/setup"))


@click.command()
@_endpoint
def core(endpoints) -> None:
    """Shows the core machines and who leads."""
    print_json(call_or_exit(endpoints=endpoints, method="GET", path="/core"))


@click.command()
@_endpoint
def counters(endpoints) -> None:
    """Shows a registry's counters and those of the stores."""
    print_json(call_or_exit(endpoints=endpoints, method="GET", path="/counters"))


@click.command()
@_endpoint
def ready(endpoints) -> None:
    """Asks each core machine whether it is ready; exit 1 names those that aren't."""
    waiting = False
    for endpoint in endpoints:
        answer = call(endpoints=(endpoint,), method="GET", path="/ready")
        waiting = waiting or answer.status != OK
        print_json({"door": endpoint, **answer.body})
    if waiting:
        sys.exit(REFUSED)


@click.group()
def operator() -> None:
    """Changes among the operators: one proposes, a second person signs."""


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
    """Proposes another token for an operator."""
    _propose(endpoints, token, name, new_token)


@operator.command("remove")
@_endpoint
@_token
@click.argument("name")
def operator_remove(endpoints, token, name) -> None:
    """Proposes that somebody is an operator no longer."""
    print_json(call_or_exit(endpoints=endpoints, method="POST", path=f"/operators/{name}/remove", token=token))


@operator.command("sign")
@_endpoint
@_token
@click.argument("name")
@click.option("--change", help="The change you read; without it the one the mesh shows is signed.")
def operator_sign(endpoints, token, name, change) -> None:
    """Signs a proposed change as the second person; it is in force at once."""
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
    """Takes a proposed change back."""
    print_json(call_or_exit(endpoints=endpoints, method="POST", path=f"/operators/{name}/drop", token=token))


@operator.command("list")
@_endpoint
def operator_list(endpoints) -> None:
    """Shows the operators and the changes that wait for a second person."""
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
