"""Settings: files, flags and error messages use the documented names, whatever the names of the attributes."""

import tempfile
from pathlib import Path
from typing import Any

from returns.result import Success
from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from hoistsaddle.common.settings import (
    DOCUMENTED_NAMES,
    ControllerSettings,
    ProxySettings,
    RegistrySettings,
    SidecarSettings,
    StoreSettings,
    attribute_of,
)
from hoistsaddle.common.settings_checks import ALLOWED_RANGES
from hoistsaddle.common.settings_files import read_settings_file

SEEDS = ["10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100"]
CORE = [{"replica": 1, "warehouse": "10.0.0.1:7101", "bourse": "10.0.0.1:7100"}]
PROXY = {
    "name": "p-1",
    "zone": "a",
    "listen": "10.0.0.9:1",
    "visitors": "10.0.0.9:2",
    "inner": "10.0.0.9:3",
    "seeds": SEEDS,
}
STORE = {"replica": 1, "zone": "a", "listen": "10.0.0.1:7101", "data_folder": "/data", "core": CORE}
REGISTRY = {"replica": 1, "zone": "a", "listen": "10.0.0.1:7100", "operators": "10.0.0.1:7102", "core": CORE}


def read(kind: type, values: dict, **changes: Any) -> Any:
    return read_settings_file(kind=kind, path=None, flags={**values, **changes})


class Names(TestCase):
    def test_files_with_the_documented_names_are_read(self) -> None:
        lines = [
            'name = "p-1"',
            'zone = "a"',
            'listen = "10.0.0.9:1"',
            'visitors = "10.0.0.9:2"',
            'inner = "10.0.0.9:3"',
            f"seeds = {SEEDS}",
            "vitals_seconds = 2.5",
            "backlog = 7",
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "proxy.toml"
            path.write_text("\n".join(lines))
            settings = read_settings_file(kind=ProxySettings, path=str(path), flags={}).unwrap()
        self.assertThat((settings.clients, settings.health_seconds, settings.backlog), Equals(("10.0.0.9:2", 2.5, 7)))

    def test_each_range_belongs_to_an_attribute(self) -> None:
        kinds = (StoreSettings, RegistrySettings, ProxySettings, ControllerSettings, SidecarSettings)
        attributes = {field for kind in kinds for field in kind.__struct_fields__}
        self.assertThat([each for each in ALLOWED_RANGES if attribute_of(each) not in attributes], Equals([]))

    def test_encoded_names_are_the_documented_ones(self) -> None:
        kinds = (StoreSettings, RegistrySettings, ProxySettings, ControllerSettings, SidecarSettings)
        for kind in kinds:
            for attribute, encoded in zip(kind.__struct_fields__, kind.__struct_encode_fields__, strict=True):
                self.assertThat(encoded, Equals(DOCUMENTED_NAMES.get(attribute, attribute)))


class Checks(TestCase):
    def test_valid_settings_are_accepted(self) -> None:
        for kind, values in ((ProxySettings, PROXY), (StoreSettings, STORE), (RegistrySettings, REGISTRY)):
            self.assertThat(read(kind, values), IsInstance(Success))

    def test_the_first_error_names_the_setting_as_documented(self) -> None:
        for kind, values, changes, field in (
            (ProxySettings, PROXY, {"visitors": "nowhere"}, "visitors"),
            (ProxySettings, PROXY, {"vitals_seconds": 0.01}, "vitals_seconds"),
            (ProxySettings, PROXY, {"vitals_seconds": float("nan")}, "vitals_seconds"),
            (ProxySettings, PROXY, {"backlog": -1}, "backlog"),
            (ProxySettings, PROXY, {"seeds": SEEDS[:2]}, "seeds"),
            (ProxySettings, PROXY, {"seeds": [*SEEDS[:2], "x"]}, "seeds[2]"),
            (ProxySettings, PROXY, {"name": "two words"}, "name"),
            (StoreSettings, STORE, {"data_folder": "a\0b"}, "data_folder"),
            (StoreSettings, STORE, {"replica": 2}, "replica"),
            (StoreSettings, STORE, {"core": CORE * 2}, "core"),
            (StoreSettings, STORE, {"core": [{**CORE[0], "warehouse": "x"}]}, "core[0].warehouse"),
            (RegistrySettings, REGISTRY, {"core": [{**CORE[0], "bourse": "x"}]}, "core[0].bourse"),
            (RegistrySettings, REGISTRY, {"operators": "x"}, "operators"),
        ):
            error = read(kind, values, **changes).failure()
            self.assertThat((error.kind, error.field), Equals(("params", field)))
