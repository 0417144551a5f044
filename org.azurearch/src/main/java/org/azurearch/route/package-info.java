/** Matching of calls to routes and choice of a backend server. */
@NullMarked
package org.azurearch.route;

import org.jspecify.annotations.NullMarked;
