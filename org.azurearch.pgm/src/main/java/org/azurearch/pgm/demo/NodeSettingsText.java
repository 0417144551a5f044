package org.azurearch.pgm.demo;

import java.util.List;
import org.azurearch.lib.NetAddress;

/**
 * Generates the settings file of a node of the demonstration.
 *
 * @param plan the firm
 * @param log the address of the log
 * @param peerKey the key that the nodes share, in hexadecimal
 * @param tokenHash the SHA-256 digest of the operator's token, in hexadecimal
 */
record NodeSettingsText(FirmPlan plan, NetAddress log, String peerKey, String tokenHash) {
    /**
     * Returns the text of the settings file.
     *
     * @param vm the VM
     * @param addresses the addresses on which the node listens
     * @param seeds the addresses of the peers to contact first
     */
    String text(FirmPlan.VmPlan vm, NodeAddresses addresses, List<NetAddress> seeds) {
        return String.join(
                "\n",
                "node:",
                "  mesh: " + plan.firm(),
                "  id: " + vm.name(),
                "  dataCentre: " + vm.dataCentre(),
                "  region: " + plan.region(),
                "log:",
                "  address: \"" + log + "\"",
                "peers:",
                "  listen: \"" + addresses.peer() + "\"",
                "  key: \"" + peerKey + "\"",
                "  seeds: " + seeds.stream().map(s -> "\"" + s + "\"").toList(),
                "calls:",
                "  listen: \"" + addresses.calls() + "\"",
                "admin:",
                "  listen: \"" + addresses.admin() + "\"",
                "  tokens:",
                "    - operator: demo",
                "      sha256: \"" + tokenHash + "\"",
                "      firm: " + plan.firm(),
                "      role: operator",
                "");
    }
}
