"""The registry as a service of its program: the node and the operators' interface, opened and closed in order."""

from aiomisc import Service

from hoistsaddle.common.settings import RegistrySettings
from hoistsaddle.registry.node import Registry
from hoistsaddle.registry.operator_api import OperatorApi
from hoistsaddle.rpc.runtime import RealRuntime


class RegistryService(Service):
    """Runs a registry that stands apart from its store."""

    def __init__(self, *, settings: RegistrySettings) -> None:
        """Nothing is opened before `start`."""
        super().__init__()
        self.registry_settings = settings

    async def start(self) -> None:
        """Opens the mesh address, then the operators'."""
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
