/** Typed access to the settings of a process. */
@NullMarked
package org.azurearch.settings;

import org.jspecify.annotations.NullMarked;
