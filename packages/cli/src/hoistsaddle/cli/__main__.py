from hoistsaddle.cli.commands import main

main(prog_name="hoistsaddle")
