"""Find and run the commands of a binary: one module each in a package."""

import argparse
import importlib
import pkgutil

from fescuedrum import __version__
from fescuedrum.signals import defer_reload, restore_reload_default

EPILOG = """\
exit codes:
  0  done
  1  the command failed; the message names the remedy
  2  wrong usage
  3  faulty settings or document, or a gap in the trail; every fault is listed
  4  another operator's change came first; both are shown
  5  not known whether the change was accepted; apply it again with the same id
"""


def load_commands(package):
    """Return the Command object of each module in a package of commands."""
    found = {}
    for module in pkgutil.iter_modules(package.__path__):
        name = f"{package.__name__}.{module.name}"
        found[module.name] = importlib.import_module(name).Command()
    return found


def build_parser(found, prog, description):
    parser = argparse.ArgumentParser(
        prog=prog,
        description=description,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name, command in found.items():
        subparser = subparsers.add_parser(
            name,
            help=command.help,
            description=command.help[0].upper() + command.help[1:] + ".",
            epilog=getattr(command, "epilog", None),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_arguments(subparser)
    return parser


def execute(package, *, prog, description, argv=None):
    """Run one command and return its exit code.

    Only a command that reloads its settings holds the signal to do so.
    """
    defer_reload()
    found = load_commands(package)
    arguments = build_parser(found, prog, description).parse_args(argv)
    command = found[arguments.command]
    if not getattr(command, "reloads", False):
        restore_reload_default()
    return command.handle(arguments)
