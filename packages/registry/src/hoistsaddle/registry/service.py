"""The service that runs a registry: its node and the operators' interface, started and stopped in order."""

from aiomisc import Service

from hoistsaddle.common.settings import RegistrySettings
from hoistsaddle.registry.node import Registry
from hoistsaddle.registry.operator_api import OperatorApi
from hoistsaddle.rpc.runtime import RealRuntime


class RegistryService(Service):
    """Runs a registry in a process of its own, without a store."""

    def __init__(self, *, settings: RegistrySettings) -> None:
        """Opens no listener before `start`."""
        super().__init__()
        self.registry_settings = settings

    async def start(self) -> None:
        """Opens the mesh address, then the operators' address."""
        runtime = RealRuntime(line_faults=self.registry_settings.line_faults)
        self.node = Registry(settings=self.registry_settings, runtime=runtime)
        await self.node.start()
        self.operator_api = OperatorApi(registry=self.node)
        await self.operator_api.start()
        self.start_event.set()

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the operators' address, then the mesh address."""
        await self.operator_api.stop()
        await self.node.stop()
