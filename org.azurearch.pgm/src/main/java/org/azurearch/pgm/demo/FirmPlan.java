package org.azurearch.pgm.demo;

import java.util.ArrayList;
import java.util.List;
import org.azurearch.errors.AzurearchException;
import org.azurearch.errors.ErrorCode;
import org.azurearch.lib.DataCentreId;
import org.azurearch.lib.FirmId;
import org.azurearch.lib.RegionId;
import org.azurearch.lib.ServiceId;

/**
 * A firm at its present size: its data centres, services and typical calls.
 *
 * @param firm the firm
 * @param region its region
 * @param dataCentres its data centres
 * @param services its services
 * @param calls the calls that its users make
 */
public record FirmPlan(
        FirmId firm,
        RegionId region,
        List<DataCentreId> dataCentres,
        List<ServicePlan> services,
        List<CallSample> calls) {
    private static final int CONNECTIONS = 100;
    private static final int REGIE_SLOTS = 20;
    private static final int KORERO_SLOTS = 6;
    private static final int KORERO_PROBE_MILLIS = 6;

    /** Copies the lists. */
    public FirmPlan {
        dataCentres = List.copyOf(dataCentres);
        services = List.copyOf(services);
        calls = List.copyOf(calls);
    }

    /**
     * Returns the plan of a firm.
     *
     * @param name {@code regie} or {@code korero}
     * @throws AzurearchException with {@code USAGE} for another name
     */
    public static FirmPlan of(String name) {
        return switch (name) {
            case "regie" -> regie();
            case "korero" -> korero();
            default ->
                    throw new AzurearchException(
                            ErrorCode.USAGE, "expected regie or korero, not " + name);
        };
    }

    /** Returns the VMs, spread evenly over the data centres. */
    public List<VmPlan> vms() {
        List<VmPlan> vms = new ArrayList<>();
        int next = 0;
        for (ServicePlan service : services) {
            for (int i = 1; i <= service.count(); i++) {
                DataCentreId dataCentre = dataCentres.get(next++ % dataCentres.size());
                vms.add(new VmPlan(dataCentre, service, service.id().name() + "-" + i));
            }
        }
        return vms;
    }

    private static FirmPlan regie() {
        return new FirmPlan(
                FirmId.fromString("regie"),
                RegionId.fromString("bretagne"),
                dataCentres("rennes", "quimper", "lamballe"),
                List.of(
                        service("stock", 3, REGIE_SLOTS, 0),
                        service("orders", 3, REGIE_SLOTS, 0),
                        service("accounts", 5, REGIE_SLOTS, 0)),
                List.of(
                        CallSample.post("orders", "/orders"),
                        CallSample.read("interactive", "/stock/hay"),
                        CallSample.read("history", "/deliveries")));
    }

    private static FirmPlan korero() {
        return new FirmPlan(
                FirmId.fromString("korero"),
                RegionId.fromString("north-island"),
                dataCentres("albany", "penrose", "petone", "porirua"),
                List.of(
                        service("alerts", 4, KORERO_SLOTS, KORERO_PROBE_MILLIS),
                        service("notices", 4, KORERO_SLOTS, KORERO_PROBE_MILLIS),
                        service("detours", 4, KORERO_SLOTS, KORERO_PROBE_MILLIS)),
                List.of(
                        CallSample.post("notices", "/notices"),
                        CallSample.read("closures", "/closures"),
                        CallSample.read("lookups", "/lookup"),
                        CallSample.read("history", "/detours")));
    }

    private static List<DataCentreId> dataCentres(String... names) {
        return List.of(names).stream().map(DataCentreId::fromString).toList();
    }

    private static ServicePlan service(String name, int count, int slots, int probeMillis) {
        return new ServicePlan(ServiceId.fromString(name), count, slots, CONNECTIONS, probeMillis);
    }

    /**
     * A service and the options of its backend servers.
     *
     * @param id the service
     * @param count the number of its backend servers
     * @param slots the number of requests that each runs at once
     * @param connections the number of connections that each accepts
     * @param probeMillis how long a health probe takes, in milliseconds
     */
    public record ServicePlan(
            ServiceId id, int count, int slots, int connections, int probeMillis) {}

    /**
     * A VM: a node and the backend server behind it.
     *
     * @param dataCentre its data centre
     * @param service the service of the backend server
     * @param name the name of the node
     */
    public record VmPlan(DataCentreId dataCentre, ServicePlan service, String name) {}
}
