/** Records of nodes and of the backend servers behind them; without I/O. */
@NullMarked
package org.azurearch.sidecar.member;

import org.jspecify.annotations.NullMarked;
