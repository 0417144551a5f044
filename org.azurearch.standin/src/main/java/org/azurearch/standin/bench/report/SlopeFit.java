package org.azurearch.standin.bench.report;

import java.util.List;
import org.azurearch.standin.bench.Series;

/**
 * A straight line fitted to points by least squares.
 *
 * @param intercept the value at x = 0
 * @param slope the increase of y per unit of x
 * @param slopeError the standard error of the slope; 0 for two points
 */
public record SlopeFit(double intercept, double slope, double slopeError) {
    private static final int FITTED_PARAMETERS = 2;

    /**
     * Fits a line to points.
     *
     * @param points at least two points with different x
     * @throws IllegalArgumentException if there are fewer or all have the same x
     */
    public static SlopeFit of(List<Series.Point> points) {
        double meanX = points.stream().mapToDouble(Series.Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Series.Point::y).average().orElse(0);
        double sumSquaredX = 0;
        double sumProducts = 0;
        for (Series.Point point : points) {
            sumSquaredX += (point.x() - meanX) * (point.x() - meanX);
            sumProducts += (point.x() - meanX) * (point.y() - meanY);
        }
        if (points.size() < FITTED_PARAMETERS || sumSquaredX == 0) {
            throw new IllegalArgumentException(
                    "fitting a line requires two points with different x");
        }
        double slope = sumProducts / sumSquaredX;
        double intercept = meanY - slope * meanX;
        return new SlopeFit(
                intercept, slope, slopeStandardError(points, intercept, slope, sumSquaredX));
    }

    /** Returns the value of the line at x. */
    public double valueAt(double x) {
        return intercept + slope * x;
    }

    private static double slopeStandardError(
            List<Series.Point> points, double intercept, double slope, double sumSquaredX) {
        int degreesOfFreedom = points.size() - FITTED_PARAMETERS;
        if (degreesOfFreedom == 0) {
            return 0;
        }
        double sumSquaredResiduals = 0;
        for (Series.Point point : points) {
            double residual = point.y() - intercept - slope * point.x();
            sumSquaredResiduals += residual * residual;
        }
        return Math.sqrt(sumSquaredResiduals / degreesOfFreedom / sumSquaredX);
    }
}
