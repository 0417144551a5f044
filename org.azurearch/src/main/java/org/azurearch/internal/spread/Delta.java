package org.azurearch.internal.spread;

import org.azurearch.spread.Position;

/**
 * Log records that lead from one position to a later one.
 *
 * @param base the position that the records apply to
 * @param target the position after the records
 * @param payload the records, encoded relative to the state at the base; must not be modified
 */
record Delta(Position base, Position target, byte[] payload) {}
