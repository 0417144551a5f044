package org.azurearch.standin.bench;

import java.util.List;

/**
 * A named sequence of points in a chart.
 *
 * @param chart the chart that the series belongs to
 * @param name the name in the legend
 * @param xLabel label of the x axis, with the unit
 * @param yLabel label of the y axis, with the unit
 * @param points the points in drawing order
 */
public record Series(String chart, String name, String xLabel, String yLabel, List<Point> points) {
    /** Takes a copy of the list. */
    public Series {
        points = List.copyOf(points);
    }

    /**
     * A point of a series.
     *
     * @param x the value on the x axis
     * @param y the value on the y axis
     */
    public record Point(double x, double y) {}
}
