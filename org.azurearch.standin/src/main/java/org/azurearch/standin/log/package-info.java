/** Stand-in of the platform's append-only log service, with switchable faults. */
@NullMarked
package org.azurearch.standin.log;

import org.jspecify.annotations.NullMarked;
