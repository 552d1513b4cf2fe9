"""The program that runs a gateway on the users' platform."""

from __future__ import annotations

import sys

import uvloop

from sycamorebay import log
from sycamorebay.errors import SettingsError
from sycamorebay.platform.boot import BOOT_VARIABLE, boot_path, read_boot
from sycamorebay.platform.documents import PlatformDocuments
from sycamorebay.platform.headers import PlatformHeaderCodec
from sycamorebay.platform.store import PlatformStore
from sycamorebay.transport import garbage_collection
from sycamorebay.transport.gateway.gateway import Gateway
from sycamorebay.transport.gateway.log_writer import LogWriter
from sycamorebay.transport.gateway.settings import GatewaySettings

EXIT_BAD_SETTINGS = 2


async def serve(settings: GatewaySettings, store_address: str, log_writer: LogWriter) -> None:
    """Run one gateway until it receives SIGTERM or SIGINT."""
    gateway = Gateway(
        settings,
        PlatformHeaderCodec(),
        PlatformDocuments(),
        lambda pool, counters: PlatformStore(store_address, pool, counters),
        log_writer,
    )
    garbage_collection.freeze_loaded_objects()
    await gateway.run()


def run() -> int:
    """Read the settings file that the platform names, run a gateway, and return the exit status."""
    path = boot_path()
    if not path:
        print(f"{BOOT_VARIABLE}: not set, expected the path of the settings file", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings, store_address = read_boot(path)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{path}: {fault.path}: {fault.allowed}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    log_writer = LogWriter(sys.stdout.fileno())
    log.configure_writer(log_writer)
    uvloop.run(serve(settings, store_address, log_writer))
    return 0
