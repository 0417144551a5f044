/** Histograms, and reports of metrics as JSON and Prometheus text. */
@NullMarked
package org.azurearch.metrics;

import org.jspecify.annotations.NullMarked;
