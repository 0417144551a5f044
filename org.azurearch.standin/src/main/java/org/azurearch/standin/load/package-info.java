/** Open-loop load over HTTP that checks every answer and accounts for every verdict. */
@NullMarked
package org.azurearch.standin.load;

import org.jspecify.annotations.NullMarked;
