package org.azurearch.sidecar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.azurearch.sidecar.config.RouteRule;
import org.junit.jupiter.api.Test;

/** The shares of a split hold in every sequence of requests, not only on average. */
class SplitPickerTest {
    @Test
    void everySequenceOfTwentyKeepsWeights() {
        SplitPicker picker = new SplitPicker();
        RouteRule route = route(90, 10);
        String picks = "";
        for (int i = 0; i < 200; i++) {
            picks += picker.next(route, 0.3);
        }
        for (int from = 0; from + 20 <= picks.length(); from++) {
            long second = picks.substring(from, from + 20).chars().filter(c -> c == 'b').count();
            assertTrue(second >= 1 && second <= 3, "from " + from + ": " + second);
        }
    }

    @Test
    void serviceWithZeroWeightGetsNoRequest() {
        SplitPicker picker = new SplitPicker();
        for (int i = 0; i < 50; i++) {
            assertEquals("a", picker.next(route(100, 0), 0.9));
        }
    }

    @Test
    void sharesOfRunRequestsHoldIfHalfOfOneServiceIsRefused() {
        SplitPicker picker = new SplitPicker();
        RouteRule route = route(75, 25);
        int[] ran = new int[2];
        for (int i = 0; i < 2_000; i++) {
            String service = picker.next(route, 0.3);
            boolean refused = service.equals("a") && i % 2 == 0;
            if (refused) {
                picker.onRefusal(route, service);
            } else {
                ran[service.equals("a") ? 0 : 1]++;
            }
        }
        double share = ran[0] / (double) (ran[0] + ran[1]);
        assertTrue(share > 0.65 && share < 0.85, "share " + share);
    }

    @Test
    void serviceThatRefusesAllDoesNotStopOthers() {
        SplitPicker picker = new SplitPicker();
        RouteRule route = route(75, 25);
        int ran = 0;
        for (int i = 0; i < 1_000; i++) {
            String service = picker.next(route, 0.3);
            if (service.equals("a")) {
                picker.onRefusal(route, service);
            } else {
                ran++;
            }
        }
        assertTrue(ran > 50, "ran " + ran);
    }

    private static RouteRule route(int first, int second) {
        return new RouteRule(
                "r",
                "host",
                "/p/",
                true,
                1_000,
                300,
                2,
                1,
                List.of(
                        new RouteRule.WeightedService("a", first),
                        new RouteRule.WeightedService("b", second)));
    }
}
