/** Open-loop load generator over HTTP that checks every answer and counts every outcome. */
@NullMarked
package org.azurearch.standin.load;

import org.jspecify.annotations.NullMarked;
