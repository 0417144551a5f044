/** Matching of calls to routes, load balancing and retry budgets. */
@NullMarked
package org.azurearch.route;

import org.jspecify.annotations.NullMarked;
