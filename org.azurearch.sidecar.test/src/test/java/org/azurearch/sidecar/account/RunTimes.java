package org.azurearch.sidecar.account;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** When the requests of each account ran, in a simulation. */
final class RunTimes {
    private final Map<String, List<Long>> mMillis = new HashMap<>();

    void add(String account, long nowMillis) {
        mMillis.computeIfAbsent(account, name -> new ArrayList<>()).add(nowMillis);
    }

    int count(String account) {
        return mMillis.getOrDefault(account, List.of()).size();
    }

    /** Returns the largest number of requests of an account that ran within a window. */
    int mostInWindow(String account, long windowMillis) {
        List<Long> times = mMillis.getOrDefault(account, List.of());
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= windowMillis) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
