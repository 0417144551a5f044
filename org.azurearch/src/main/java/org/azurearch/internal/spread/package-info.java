/**
 * Distribution of the folded change stream: a core of pure decisions, and the duty that executes
 * its effects.
 */
@NullMarked
package org.azurearch.internal.spread;

import org.jspecify.annotations.NullMarked;
