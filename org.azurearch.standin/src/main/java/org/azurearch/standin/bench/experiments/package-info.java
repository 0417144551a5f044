/** The experiments, each a small class of its own. */
@NullMarked
package org.azurearch.standin.bench.experiments;

import org.jspecify.annotations.NullMarked;
