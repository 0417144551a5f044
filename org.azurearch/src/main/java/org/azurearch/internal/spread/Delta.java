package org.azurearch.internal.spread;

import org.azurearch.spread.Position;

/**
 * Log records that lead from one position to a later one.
 *
 * @param base the position that it applies to
 * @param target the position that it leads to
 * @param payload the records, encoded against the state at the base; must not be changed
 */
record Delta(Position base, Position target, byte[] payload) {}
