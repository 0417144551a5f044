/** Markdown reports, plots and line fits of experiment records. */
@NullMarked
package org.azurearch.standin.bench.report;

import org.jspecify.annotations.NullMarked;
