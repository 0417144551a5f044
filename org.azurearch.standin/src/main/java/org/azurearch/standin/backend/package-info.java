/** Stand-in for a firm's backend server: slots, cold start, misleading reports, crashes. */
@NullMarked
package org.azurearch.standin.backend;

import org.jspecify.annotations.NullMarked;
