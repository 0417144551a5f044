/** Numbered log events. */
@NullMarked
package org.azurearch.events;

import org.jspecify.annotations.NullMarked;
