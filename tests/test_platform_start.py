"""Real processes of the deploy file's roles whose port or settings file is not ready yet when they start.

A former process may still hold the port, and the settings file may be only partly written: the new process must wait
for both and not exit.
"""

import json
import socket

from hoistsaddle.testbed.emulator.platform_adapter import adapter
from platform_processes import HOST, ROLES, PlatformProcesses


class Starts(PlatformProcesses):
    """Guards against processes that exit by themselves while they start (issue 44)."""

    def test_a_port_that_is_taken_is_waited_for(self) -> None:
        samples = adapter("samples")
        mesh_port = samples.PORTS[0]
        for role, ports in (
            ("controller", (mesh_port, mesh_port + 1, samples.CONTROL)),
            ("sidecar", (mesh_port, samples.EGRESS, samples.READINESS, samples.CONTROL)),
        ):
            for port in ports:
                with socket.socket() as holder:
                    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    holder.bind((HOST, port))
                    holder.listen()
                    process, log = self.start(role, self.settings(role))
                    self.wait_for(process, log, f"{HOST}:{port} is taken")
                self.check_that_it_starts(process, f"{role} {port}")

    def test_settings_that_are_being_written_are_waited_for(self) -> None:
        for role in ROLES:
            settings = self.settings(role)
            process, log = self.start(role, settings[: len(settings) // 2])
            self.wait_for(process, log, "can't be read yet")
            (self.folder / "boot.json").write_bytes(settings)
            self.check_that_it_starts(process, role)

    def test_ports_that_are_free_are_used_at_a_start_and_any_are_survived_at_a_change(self) -> None:
        """Guards against ports that end a controller at its start, or at a change of its file (review/9)."""
        for role in ROLES:
            for ports in ([7101, 7116], [7102, 7117]):
                settings = json.loads(self.settings(role))
                process, log = self.start(role, json.dumps({**settings, "port_range": ports}).encode())
                for changed in ([7620, 7620], [7102, 7117], [8305, 8306], [1, 2], [65534, 65535]):
                    self.wait_until_it_accepts(process, role)
                    before = log.read_text().count("addresses kept")
                    (self.folder / "boot.json").write_text(json.dumps({**settings, "port_range": changed}))
                    if changed != ports:
                        self.wait_for(process, log, "addresses kept", count=before + 1)
                self.check_that_it_starts(process, f"{role} {ports}")
