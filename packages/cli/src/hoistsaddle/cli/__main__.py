"""Runs the command line as `python -m hoistsaddle.cli`."""

from hoistsaddle.cli.commands import main

main(prog_name="hoistsaddle")
