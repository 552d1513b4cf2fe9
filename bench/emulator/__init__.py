"""An emulator: many daemons' placing code in one process under virtual time."""
