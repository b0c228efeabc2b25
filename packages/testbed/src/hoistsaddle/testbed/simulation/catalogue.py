"""Every scenario by its name."""

from hoistsaddle.testbed.simulation import faults
from hoistsaddle.testbed.simulation import scenarios as plain
from hoistsaddle.testbed.simulation.manyorders import many_orders
from hoistsaddle.testbed.simulation.orders import orders_sent_again
from hoistsaddle.testbed.simulation.rules import (
    keys_travel,
    old_process_lives,
    rules_change,
    rules_change_in_trouble,
)
from hoistsaddle.testbed.simulation.scenarios import Scenario

# On core machines alone; these run with the deployments "three" and "five".
CORE_SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (plain.core_chaos, plain.power_lost, plain.agreed_then_wiped, orders_sent_again, many_orders)
}
SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        plain.calm,
        plain.core_machine_lost,
        plain.leader_frozen,
        plain.disk_wiped,
        plain.herd_killed,
        plain.days_end,
        plain.stalls_killed,
        plain.cut_apart,
        plain.frozen,
        plain.disks_fail,
        plain.servers_change,
        plain.servers_misbehave,
        plain.bundles_race,
        plain.rolling_restart,
        plain.lossy,
        plain.zone_lost,
        plain.control_lost,
        plain.bundle_while_cut_off,
        plain.broken_bundle,
        plain.anything,
        rules_change,
        rules_change_in_trouble,
        keys_travel,
        old_process_lives,
        faults.copies_damaged,
        faults.gone_forgotten,
        faults.wiped_after_word,
        faults.releases_side_by_side,
        faults.margins_kept,
        faults.isolated,
        faults.clocks_jump,
        faults.operators_at_once,
    )
}
