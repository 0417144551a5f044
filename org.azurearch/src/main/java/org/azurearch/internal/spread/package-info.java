/**
 * Distribution of the folded change stream: decisions that are pure, and the duty that carries them
 * out.
 */
@NullMarked
package org.azurearch.internal.spread;

import org.jspecify.annotations.NullMarked;
