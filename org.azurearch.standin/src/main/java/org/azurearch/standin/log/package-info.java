/** Stand-in for the platform's append-only log service, with injectable faults. */
@NullMarked
package org.azurearch.standin.log;

import org.jspecify.annotations.NullMarked;
