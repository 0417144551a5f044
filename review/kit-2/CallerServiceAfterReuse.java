import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A backend server of another service takes over an address, and calls through its node. */
public final class CallerServiceAfterReuse extends Case {
    private static final String OLD_SERVICE = "alerts";
    private static final String NEW_SERVICE = "notices";
    private static final long DRAIN_MILLIS = 2_500;
    private static final long REUSE_AFTER_MILLIS = 2_200;
    private static final int CALLS = 40;
    private static final long CALL_GAP_MILLIS = 75;

    private final Map<String, String> mCallers = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        new CallerServiceAfterReuse().go(arguments);
    }

    @Override
    boolean play() throws Exception {
        Store store = add(new Store());
        store.write("keyed.op", "config", config(1,
                route("look", "/look/", "safe", "routes", 2, "4s", "1s"),
                OLD_SERVICE, NEW_SERVICE, "routes"));
        int peerPort = Net.freePort("127.0.0.1");
        Server first = add(new Server("i-first", OLD_SERVICE, "127.0.1.1", 6));
        Server called = add(new Server("i-called", "routes", "127.0.1.2", 6));
        called.work = (request, socket, out) -> {
            mCallers.put(request.header("x-request-id"),
                    String.valueOf(request.header("x-caller-service")));
            return Server.ok(request, socket, out);
        };
        Node node =
                add(new Node(folder, "side-1", "z", first.host, peerPort, first, store, List.of()));
        Node other = add(
                new Node(folder, "side-2", "z", called.host, peerPort, called, store, List.of()));
        node.start();
        other.start();
        first.beat(node.admin());
        called.beat(other.admin());
        await("the nodes are ready", 20_000, () -> node.ready() && other.ready());
        await("a request is served", 10_000, () -> call(node, "w" + System.nanoTime()) == 200);
        String expected = OLD_SERVICE;
        if (trouble) {
            replace(node, first);
            expected = NEW_SERVICE;
        }
        int wrong = 0;
        for (int i = 0; i < CALLS; i++) {
            String id = "call-" + i;
            int status = call(node, id);
            String caller = mCallers.get(id);
            wrong += caller != null && !caller.equals(expected) ? 1 : 0;
            log(id + ": " + status + ", run with X-Caller-Service " + caller);
            Thread.sleep(CALL_GAP_MILLIS);
        }
        node.logged("AZ0803", "AZ0830", "AZ0838").forEach(line -> log("side-1: " + line));
        log("UNASKED: " + wrong + " requests run whose X-Caller-Service isn't " + expected);
        return wrong == 0;
    }

    /** One backend server drains and ends; after reuseAfter, one of another service has its address. */
    private void replace(Node node, Server first) throws Exception {
        first.state = "draining";
        log("i-first reports draining: " + first.report(node.admin()));
        Thread.sleep(DRAIN_MILLIS);
        first.stopBeating();
        log("i-first deregisters: " + Client.once(
                node.admin(), "DELETE", "/instances/i-first", "{\"born\":" + first.born + "}"));
        first.kill();
        Thread.sleep(REUSE_AFTER_MILLIS);
        Path settings = folder.resolve("side-1.conf");
        Path written = folder.resolve("side-1.conf.new");
        Files.writeString(written, Files.readString(settings)
                .replace("service=" + OLD_SERVICE, "service=" + NEW_SERVICE));
        Files.move(written, settings, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        node.signal("HUP");
        log("the settings file names service " + NEW_SERVICE + ", SIGHUP is sent");
        Server second = add(Server.at("i-second", NEW_SERVICE, first.address(), 6));
        log("i-second of " + NEW_SERVICE + " reports ready: " + second.report(node.admin()));
        second.beat(node.admin());
    }

    private static int call(Node node, String id) throws Exception {
        try (Client client = new Client(node.calls())) {
            Net.Message answer = client.call("GET", "/look/" + id, id, 3_000);
            return answer == null ? 0 : answer.status();
        }
    }
}
