/** The plug-in kernel, its service registry, and duties joined by bounded rings. */
@NullMarked
package org.azurearch.kernel;

import org.jspecify.annotations.NullMarked;
