/** Membership of nodes and the endpoints that backend servers announce. */
@NullMarked
package org.azurearch.member;

import org.jspecify.annotations.NullMarked;
