package org.azurearch.standin.bench;

import java.util.List;

/**
 * Points to plot.
 *
 * @param chart the chart that the series belongs to
 * @param name the name in the legend
 * @param xLabel what x is, with its unit
 * @param yLabel what y is, with its unit
 * @param points the points
 */
public record Series(String chart, String name, String xLabel, String yLabel, List<Point> points) {
    /** Takes a copy of the list. */
    public Series {
        points = List.copyOf(points);
    }

    /**
     * A point.
     *
     * @param x the value on the first axis
     * @param y the value on the second axis
     */
    public record Point(double x, double y) {}
}
