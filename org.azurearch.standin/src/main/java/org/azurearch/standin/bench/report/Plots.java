package org.azurearch.standin.bench.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.azurearch.standin.bench.Series;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws the charts of a record as PNG files. */
public final class Plots {
    private static final int WIDTH_PIXELS = 800;
    private static final int HEIGHT_PIXELS = 480;

    private Plots() {}

    /** Writes a PNG file for each chart of the series. */
    public static void write(Path directory, String name, List<Series> series) throws IOException {
        System.setProperty("java.awt.headless", "true");
        Map<String, List<Series>> charts = new LinkedHashMap<>();
        for (Series item : series) {
            charts.computeIfAbsent(item.chart(), key -> new ArrayList<>()).add(item);
        }
        for (Map.Entry<String, List<Series>> chart : charts.entrySet()) {
            ChartUtils.saveChartAsPNG(
                    directory.resolve(fileName(name, chart.getKey())).toFile(),
                    draw(chart.getKey(), chart.getValue()),
                    WIDTH_PIXELS,
                    HEIGHT_PIXELS);
        }
    }

    /** Returns the file name of a chart. */
    public static String fileName(String name, String chart) {
        return name + "-" + chart.replaceAll("[^a-zA-Z0-9]+", "-") + ".png";
    }

    private static JFreeChart draw(String title, List<Series> series) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (Series item : series) {
            XYSeries line = new XYSeries(item.name(), false, true);
            item.points().forEach(point -> line.add(point.x(), point.y()));
            data.addSeries(line);
        }
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        title,
                        series.get(0).xLabel(),
                        series.get(0).yLabel(),
                        data,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false);
        chart.getXYPlot().setRenderer(new XYLineAndShapeRenderer(true, true));
        return chart;
    }
}
