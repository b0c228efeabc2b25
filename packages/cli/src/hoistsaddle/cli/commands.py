"""The `hoistsaddle` command: its subcommands that run the programs, and the registration of all others."""

import logging
import sys
from collections.abc import Callable
from datetime import timedelta

import click
from aiohttp.http_exceptions import HttpProcessingError
from aiomisc import Service
from loguru import logger
from returns.result import Failure, Success

from hoistsaddle.cli.fleet_commands import fleet
from hoistsaddle.cli.item_commands import items
from hoistsaddle.cli.operator_commands import OPERATOR_COMMANDS
from hoistsaddle.cli.output import EXIT_USAGE, exit_with_error
from hoistsaddle.common.process_start import prepare_process
from hoistsaddle.common.service_runner import ServiceRunner, StartRefused
from hoistsaddle.common.settings import (
    ControllerSettings,
    ProxySettings,
    RegistrySettings,
    SidecarSettings,
    StoreSettings,
)
from hoistsaddle.common.settings_files import read_settings_file

# The grace period of programs whose settings have none: longer than any timeout inside them.
DEFAULT_GRACE_SECONDS = 60.0


def _is_not_malformed_request(record: logging.LogRecord) -> bool:
    """Filters out log records of malformed HTTP: the library has answered 400, and this process is not at fault."""
    return not (record.exc_info and isinstance(record.exc_info[1], HttpProcessingError))


def _run(*, kind: type, service: Callable[..., Service], settings_file: str | None, flags: dict) -> None:
    """Runs a program until it receives a signal to stop.

    Args:
        kind: The class of its settings.
        service: Creates the program from its settings.
        settings_file: The path of the TOML file; None if there is none.
        flags: Settings from the command line, by their documented names.
    """
    match read_settings_file(kind=kind, path=settings_file, flags=flags):
        case Failure(error):
            exit_with_error(error, status=EXIT_USAGE)
        case Success(settings):
            pass
    prepare_process()
    logging.getLogger("aiohttp.server").addFilter(_is_not_malformed_request)
    logger.remove()
    logger.add(sys.stderr, format="{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}", level="INFO")
    grace = timedelta(seconds=getattr(settings, "grace_seconds", DEFAULT_GRACE_SECONDS))
    try:
        ServiceRunner(service=service(settings=settings), grace=lambda: grace).run()
    except StartRefused as refusal:
        exit_with_error(refusal.error, status=EXIT_USAGE)


def _core_machines(values: tuple[str, ...]) -> list[dict] | None:
    """Converts core machines to the form of the settings file; they are validated with the other settings."""
    machines = []
    for value in values:
        replica, _, rest = value.partition("=")
        store, _, registry = rest.partition(",")
        machines.append(
            {"replica": int(replica) if replica.isdigit() else replica, "warehouse": store, "bourse": registry}
        )
    return machines or None


@click.group()
def main() -> None:
    """hoistsaddle: a service mesh whose state and events can be observed."""


_settings = click.option(
    "--params", "--settings", "settings_file", type=str, help="TOML file with the fields below; flags override it."
)
_core = click.option(
    "--core", multiple=True, help="A core machine: REPLICA=STORE_ADDRESS,REGISTRY_ADDRESS. Repeat for each."
)


@main.command()
@_settings
@click.option("--replica", type=int)
@click.option("--zone")
@click.option("--listen", help="Mesh address, IP:PORT.")
@click.option("--data-folder")
@_core
def store(settings_file, core, **flags) -> None:
    """Runs the store on a core machine."""
    from hoistsaddle.store.service import StoreService

    _run(
        kind=StoreSettings,
        service=StoreService,
        settings_file=settings_file,
        flags={**flags, "core": _core_machines(core)},
    )


@main.command()
@_settings
@click.option("--replica", type=int)
@click.option("--zone")
@click.option("--listen", help="Mesh address, IP:PORT.")
@click.option("--operators", help="Operators' HTTP address, IP:PORT.")
@_core
def registry(settings_file, core, **flags) -> None:
    """Runs the registry on a core machine."""
    from hoistsaddle.registry.service import RegistryService

    _run(
        kind=RegistrySettings,
        service=RegistryService,
        settings_file=settings_file,
        flags={**flags, "core": _core_machines(core)},
    )


@main.command()
@_settings
@click.option("--name")
@click.option("--zone")
@click.option("--listen", help="Mesh address, IP:PORT.")
@click.option("--visitors", help="Clients' HTTP address, IP:PORT.")
@click.option("--inner", help="HTTP address for this machine's own server, IP:PORT.")
@click.option("--seed", "seeds", multiple=True, help="A registry's mesh address; give three.")
def proxy(settings_file, seeds, **flags) -> None:
    """Runs the proxy beside a server."""
    from hoistsaddle.proxy.service import ProxyService

    _run(kind=ProxySettings, service=ProxyService, settings_file=settings_file, flags={**flags, "seeds": list(seeds)})


@main.command()
@click.argument("settings", required=False, type=str)
@_settings
@click.option("--host", help="This machine's IP address.")
@click.option("--zone")
@click.option("--data-folder")
@click.option(
    "--seed", "seeds", multiple=True, help="A core machine's IP address; one to three, the same on all machines."
)
@click.option(
    "--cold-start/--no-cold-start", default=None, help="Set only at the very first start of the mesh, on blank disks."
)
@click.option("--losses", type=int, help="How many core machines may be lost at once.")
@click.option("--zone-losses", type=int, help="How many whole zones may be lost at once, beside the machines.")
@click.option(
    "--region-losses", type=int, help="How many whole regions may be lost at once; SETTINGS gives each zone's region."
)
def controller(settings, settings_file, seeds, **flags) -> None:
    """Runs store and registry in one process, for meshes with items. SETTINGS is a TOML file; flags override it."""
    from hoistsaddle.registry.controller_api import ControllerService

    _run(
        kind=ControllerSettings,
        service=ControllerService,
        settings_file=settings or settings_file,
        flags={**flags, "seeds": list(seeds)},
    )


@main.command()
@click.argument("settings", required=False, type=str)
@_settings
@click.option("--name")
@click.option("--zone")
@click.option("--listen", help="Mesh address, IP:PORT.")
@click.option("--door", help="HTTP address for clients and for this machine's own server, IP:PORT.")
@click.option("--vitals-door", help="HTTP address for the health reports of this machine's own server, IP:PORT.")
@click.option("--ready-door", help="HTTP address for readiness checks, IP:PORT.")
@click.option("--service", help="The service of the server beside it.")
@click.option("--server", help="That server's address, IP:PORT.")
@click.option("--seed", "seeds", multiple=True, help="A controller's registry address, IP:PORT; one to three.")
def sidecar(settings, settings_file, seeds, **flags) -> None:
    """Runs the proxy for meshes with items. SETTINGS is a TOML file; flags override it."""
    from hoistsaddle.sidecar.service import SidecarService

    _run(
        kind=SidecarSettings,
        service=SidecarService,
        settings_file=settings or settings_file,
        flags={**flags, "seeds": list(seeds)},
    )


# The subcommands' former names, kept for one release by a command that prints a warning.
FORMER_NAMES = {"warehouse": store, "bourse": registry, "stall": proxy, "market": controller, "broker": sidecar}


def _alias(*, former: str, command: click.Command) -> click.Command:
    """Returns a hidden command under the former name that prints a warning and runs the command."""

    def run(**arguments: object) -> None:
        click.echo(
            f"hoistsaddle {former} is now hoistsaddle {command.name}; the former name goes next release", err=True
        )
        command.callback(**arguments)

    return click.Command(former, params=command.params, callback=run, help=command.help, hidden=True)


for former_name, renamed_command in FORMER_NAMES.items():
    main.add_command(_alias(former=former_name, command=renamed_command))
main.add_command(fleet)
main.add_command(items)
for command in OPERATOR_COMMANDS:
    main.add_command(command)
