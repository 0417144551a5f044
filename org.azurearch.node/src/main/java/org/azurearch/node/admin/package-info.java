/** The administration API of a node over HTTP. */
@NullMarked
package org.azurearch.node.admin;

import org.jspecify.annotations.NullMarked;
