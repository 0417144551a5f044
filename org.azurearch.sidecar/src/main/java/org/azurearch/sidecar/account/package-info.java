/** Client accounts: their keys, their quotas over all nodes and their fair shares. */
@NullMarked
package org.azurearch.sidecar.account;

import org.jspecify.annotations.NullMarked;
