from hoistsaddle.kiosk.commands import main

main(prog_name="hoistsaddle")
