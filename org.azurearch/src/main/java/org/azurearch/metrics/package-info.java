/** Metric names and histograms. */
@NullMarked
package org.azurearch.metrics;

import org.jspecify.annotations.NullMarked;
