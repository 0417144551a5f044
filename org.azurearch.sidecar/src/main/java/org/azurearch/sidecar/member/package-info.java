/** What nodes know of each other and of the backend servers behind them; pure decisions. */
@NullMarked
package org.azurearch.sidecar.member;

import org.jspecify.annotations.NullMarked;
