/** The plug-in kernel with its service registry, and duties with their bounded rings. */
@NullMarked
package org.azurearch.kernel;

import org.jspecify.annotations.NullMarked;
