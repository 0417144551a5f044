/** The data path: accepting, forwarding and answering calls. */
@NullMarked
package org.azurearch.call;

import org.jspecify.annotations.NullMarked;
