import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The backend server of a machine falls silent for good while requests wait for its slots; after
 * reuseAfter its address goes to a backend server of another service. ROUTE: that one must run no
 * request of a route that does not lead to its service.
 */
public final class AddressReuse {
    private static final long BEAT_MILLIS = 1_500;
    private static final long REUSE_AFTER_MILLIS = 2_000;
    private static final int SLOTS = 4;
    private static final int CALLERS = 12;
    private static final long WORK_MILLIS = 400;

    public static void main(String[] arguments) {
        int status;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), 2, BEAT_MILLIS)) {
            status = play(deployment) ? 0 : Deployment.BROKEN;
            deployment.mRecord.line("exit status %d", status);
        } catch (Throwable e) {
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }

    /** Returns whether the rule held. */
    private static boolean play(Deployment deployment) throws Exception {
        Record record = deployment.mRecord;
        deployment.publish(
                1,
                Deployment.rule("r-stock", "safe", "/stock/", "stock", 1_200, 6_000, 2)
                        + ","
                        + Deployment.rule("r-order", "unsafe", "/order/", "stock", 1_200, 6_000, 2)
                        + ","
                        + Deployment.rule("r-web", "safe", "/web/", "web", 1_200, 6_000, 2),
                "stock",
                "web");
        Node entry = deployment.addNode(0, "a", "web");
        Node reused = deployment.addNode(1, "b", "stock");
        Backend web = deployment.addBackend(entry, "web-0", "web", "i-web0", SLOTS, worker("web"));
        Backend old =
                deployment.addBackend(reused, "stock-1", "stock", "i-stock1", SLOTS, worker("stock"));
        entry.start();
        reused.start();
        deployment.await("both nodes are ready", () -> entry.ready() && reused.ready());
        web.startHeartbeats();
        old.startHeartbeats();
        deployment.await(
                "the entry node reaches the service stock",
                () -> once(entry, "/stock/first", "first") == 200);

        AtomicBoolean stop = new AtomicBoolean();
        CopyOnWriteArrayList<String> foreign = new CopyOnWriteArrayList<>();
        AtomicInteger ids = new AtomicInteger();
        for (int i = 0; i < CALLERS; i++) {
            String route = i % 2 == 0 ? "stock" : "order";
            Backend.daemon("caller", () -> call(deployment, entry, route, ids, stop, foreign));
        }
        Backend.sleep(4_000);
        Backend second = null;
        if (deployment.mTrouble) {
            old.goDark();
            Backend.sleep(REUSE_AFTER_MILLIS);
            second =
                    deployment.addBackend(
                            reused, "web-1", "web", "i-web1", SLOTS, worker("web"));
            reused.set("service", "web");
            reused.signal("HUP");
            second.startHeartbeats();
        }
        Backend.sleep(9_000);
        stop.set(true);
        Backend.sleep(1_000);

        int wrong = count(record, web) + (second == null ? 0 : count(record, second));
        record.line("requests for stock that ran at a server of web: %d", wrong);
        record.line("answers of web to requests for stock: %d %s", foreign.size(), foreign);
        deployment.copyLog("AZ0830", "AZ0833", "AZ0806", "AZ0803");
        return wrong == 0 && foreign.isEmpty();
    }

    private static int count(Record record, Backend backend) {
        int wrong = 0;
        for (String id : backend.mRun) {
            if (!id.startsWith("web")) {
                wrong++;
            }
        }
        return wrong;
    }

    private static int once(Node node, String target, String id) {
        try (Client client = new Client(node.calls(), 3_000)) {
            return client.call("GET", Deployment.HOST, target, id, 3_000, new byte[0]).mStatus;
        } catch (IOException e) {
            return 0;
        }
    }

    private static void call(
            Deployment deployment,
            Node node,
            String route,
            AtomicInteger ids,
            AtomicBoolean stop,
            CopyOnWriteArrayList<String> foreign) {
        while (!stop.get()) {
            String id = route + "-" + ids.incrementAndGet();
            String method = route.equals("stock") ? "GET" : "POST";
            String target = "/" + route + "/" + id;
            long started = deployment.mRecord.millis();
            String outcome;
            try (Client client = new Client(node.calls(), 9_000)) {
                Client.Answer answer =
                        client.call(
                                method, Deployment.HOST, target, id, 8_000, new byte[0]);
                String body = new String(answer.mBody, StandardCharsets.ISO_8859_1);
                outcome = answer.mStatus + " " + body;
                if (answer.mStatus == 200 && !body.startsWith("stock ")) {
                    foreign.add(id);
                }
            } catch (IOException e) {
                outcome = e.toString();
            }
            deployment.mRecord.line(
                    "%s %s sent at %d: %s", method, target, started, outcome);
            if (!outcome.startsWith("200")) {
                Backend.sleep(300);
            }
        }
    }

    private static Backend.Behaviour worker(String service) {
        return (request, socket, out) -> {
            Thread.sleep(WORK_MILLIS);
            Backend.success(
                    request,
                    out,
                    (service + " ran " + request.mTarget).getBytes(StandardCharsets.ISO_8859_1));
            return true;
        };
    }
}
