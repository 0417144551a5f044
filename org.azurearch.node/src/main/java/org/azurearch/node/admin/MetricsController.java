package org.azurearch.node.admin;

import com.codahale.metrics.MetricRegistry;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Produces;
import java.time.Duration;
import org.azurearch.metrics.MetricsReport;
import org.azurearch.metrics.MetricsReporter;
import org.azurearch.metrics.PrometheusText;
import org.azurearch.time.TimerService;

/** Serves the metrics of the node. */
@Controller("/v1/metrics")
public final class MetricsController {
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(10);

    private final MetricsReporter mReporter;

    /** Creates a controller. */
    public MetricsController(MetricRegistry registry, TimerService timers) {
        mReporter = new MetricsReporter(registry, timers.time(), REPORT_INTERVAL);
    }

    /** Returns the metrics as JSON. */
    @Get
    public MetricsReport json() {
        return mReporter.report();
    }

    /** Returns the metrics in the Prometheus text format. */
    @Get("/prometheus")
    @Produces(PrometheusText.MEDIA_TYPE)
    public String prometheus() {
        return PrometheusText.of(mReporter.report());
    }
}
